/** The client of Consul's HTTP API: the key-value store with blocking queries, and the status of the leader. */
package mintstair.registry.consul;
