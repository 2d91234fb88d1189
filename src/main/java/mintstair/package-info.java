/** The program: its entry point and the commands that need no package of their own. */
package mintstair;
