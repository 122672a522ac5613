"""An HTTP/1.1 client and server for asyncio, with h11 as the protocol."""
