/** etcd's v3 API over gRPC. The messages are generated from {@code etcd.proto}. */
package mintstair.registry.etcd;
