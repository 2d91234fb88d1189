/** The program's output streams, which never block the thread that writes a line. */
package mintstair.log;
