/** The entry point of the program, and the commands that do not have their own package. */
package mintstair;
