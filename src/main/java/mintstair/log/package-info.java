/** Output streams that never block the writing thread, and the error reporting of scheduled tasks. */
package mintstair.log;
