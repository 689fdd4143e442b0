"""Several processes of the program, with faults between them."""
