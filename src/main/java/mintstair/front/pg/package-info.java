/** The front for PostgreSQL clients: start-up, simple queries and errors in version 3 of the protocol. */
package mintstair.front.pg;
