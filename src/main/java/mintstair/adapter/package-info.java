/**
 * The {@code adapter} command: hosts many instances of the decision module on the simulator's wire, JSON arrays on
 * standard input and output. The words of the wire are turned into the terms of the code here.
 */
package mintstair.adapter;
