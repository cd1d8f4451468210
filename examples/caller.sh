#!/usr/bin/env bash
# A caller with curl: asks for addresses, runs a quote program, and ends it.
# Needs a running deployment: python examples/up.py & then: . ./carobspur.env
set -euo pipefail

ask() {
  curl --silent --show-error --no-buffer --header "Authorization: Bearer $CALLER_KEY" \
    --header 'Carobspur-User: clerk-17' "$@"
}

echo "# Which addresses? The first is where this caller should connect."
addresses=$(ask "$ENTRY/v1/addresses")
echo "$addresses"
entry=http://$(echo "$addresses" |
  sed 's/{"addresses":\[{"host":"\([^"]*\)","port":\([0-9]*\).*/\1:\2/')

echo; echo "# Start a program; the same Idempotency-Key always gives the same one."
started=$(ask --header "Idempotency-Key: visit-$$-$(date +%s)" \
  --data '{"agent": "quote"}' "$entry/v1/programs")
echo "$started"
program=$(echo "$started" | sed 's/.*"program":"\([^"]*\)".*/\1/')

echo; echo "# Call 1, a model, streamed."
ask --data '{"endpoint": "quote-model", "stream": true,
  "input": {"prompt": "a chain of 4.2 grams, 18 carat", "max_tokens": 6}}' \
  "$entry/v1/programs/$program/calls/1"

echo "# Call 2, a payout, which may not be repeated; asked twice, it runs once."
for _ in 1 2; do
  ask --data '{"endpoint": "payout", "input": {"seller": "s-204", "pesos": 185000}}' \
    "$entry/v1/programs/$program/calls/2"
  echo
done

echo; echo "# A number out of order is refused with the expected one."
ask --data '{"endpoint": "vault", "input": {}}' "$entry/v1/programs/$program/calls/9"

echo; echo; echo "# What is known of the program, then its end."
ask "$entry/v1/programs/$program"; echo
ask --request DELETE --write-out '%{http_code}\n' "$entry/v1/programs/$program"
