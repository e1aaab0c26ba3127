"""Who does what when: periodic duties with one owner each, taken over as owners fall silent. Free of I/O."""
