#!/bin/sh
# Writes the committed XDR code anew from the .x files (needs rpcgen).
set -eu
cd "$(dirname "$0")/.."
for file in world/link.x policy/event.x peer/peer.x; do
    [ -e "$file" ] || continue
    folder=${file%/*}
    stem=$(basename "$file" .x)
    mkdir -p "$folder/generated"
    rm -f "$folder/generated/$stem.h" "$folder/generated/${stem}_xdr.c"
    rpcgen -C -h -o "$folder/generated/$stem.h" "$file"
    rpcgen -C -c -o "$folder/generated/${stem}_xdr.c" "$file"
    # The header is named by its path from the root, whatever rpcgen says.
    sed -i -e "s|#include \"$stem.h\"|#include \"$folder/generated/$stem.h\"|" \
        -e "s|#include \".*/$stem.h\"|#include \"$folder/generated/$stem.h\"|" \
        "$folder/generated/${stem}_xdr.c"
done
