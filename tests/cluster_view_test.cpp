// Being written.
