"""Thin daemons that wire components to sockets, disks and threads."""
