"""What is spoken: frames, HTTP/1.1, the change log, the simulator's wire, package repositories."""
