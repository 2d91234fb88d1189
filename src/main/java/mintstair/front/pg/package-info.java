/** PostgreSQL clients: the start-up, simple queries and their errors, in version 3 of the protocol. */
package mintstair.front.pg;
