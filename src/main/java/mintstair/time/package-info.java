/**
 * The clocks: a monotonic clock for measuring durations, and the wall clock for timestamps that other machines or
 * people read.
 */
package mintstair.time;
