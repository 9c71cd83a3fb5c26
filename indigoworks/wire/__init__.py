"""The internal protocol: protobuf messages in length-prefixed frames over TCP."""
