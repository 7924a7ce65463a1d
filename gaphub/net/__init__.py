"""The wires of gaphub: everything that opens a socket."""
