"""Everything in gaphub that opens a socket."""
