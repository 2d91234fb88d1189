/** MongoDB clients: commands by OP_MSG, the handshake of old drivers by OP_QUERY, and cursors. */
package mintstair.front.mongo;
