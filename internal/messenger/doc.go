// Package messenger maintains the links between instances: WebSocket connections that carry messages in CBOR.
package messenger
