"""A small key-value service with the etcd v3 JSON gateway."""
