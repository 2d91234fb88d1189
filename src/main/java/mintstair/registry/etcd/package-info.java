/** The client of etcd's v3 API over gRPC. The message classes are generated from {@code etcd.proto}. */
package mintstair.registry.etcd;
