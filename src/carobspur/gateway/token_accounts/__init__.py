"""Token accounts of programs: who may grant tokens, and what counts as spent."""
