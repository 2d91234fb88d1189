/**
 * The clocks: one for spans of time, which nobody can set, and one for points in time that other machines or people
 * read.
 */
package mintstair.time;
