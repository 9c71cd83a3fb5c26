"""The internal protocol: protobuf messages in length-bounded frames over TCP."""
