/** The front for MongoDB clients: commands in OP_MSG, the handshake of old drivers in OP_QUERY, and cursors. */
package mintstair.front.mongo;
