/**
 * The {@code adapter} command, which runs many instances of the decision module for a simulator. The simulator sends
 * and receives JSON arrays on standard input and output; this package converts them to and from the types of the
 * decision module.
 */
package mintstair.adapter;
