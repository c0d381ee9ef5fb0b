#!/bin/sh
# Shows that the tests can fail: takes one guard at a time out of a copy of
# the tree, builds, and runs the test that must then fail.
#
# Each row of mutants.txt, parted by " | ": file | sed expression | test
# program | what it takes away.  Exits 1 when a mutant survives or an
# expression fits nowhere.  Warnings are no errors here, because a mutant may
# leave a variable or a function unused.
set -eu
cd "$(dirname "$0")/.."
copy=build/mutants
mkdir -p "$copy"
find "$copy" -mindepth 1 -maxdepth 1 ! -name build -exec rm -rf {} +
git ls-files -z | tar --null -T - -cf - | tar -C "$copy" -xf -
sed -i 's/ -Werror / /' "$copy/CMakeLists.txt"
cmake -S "$copy" -B "$copy/build" -DCMAKE_BUILD_TYPE=Debug >/dev/null
cmake --build "$copy/build" -j "$(nproc)" >/dev/null
survived=0
killed=0
sed 's/ | /\t/g' regress/mutants.txt >"$copy/rows"
while IFS="$(printf '\t')" read -r file expression program what; do
    case "$file" in '' | '#'*) continue ;; esac
    file=$(echo "$file" | tr -d ' ')
    program=$(echo "$program" | tr -d ' ')
    cp "$file" "$copy/$file"
    sed -i -e "$expression" "$copy/$file"
    if cmp -s "$file" "$copy/$file"; then
        echo "mutant fits nowhere: $file: $what"
        survived=$((survived + 1))
        continue
    fi
    cmake --build "$copy/build" -j "$(nproc)" --target "$program" >/dev/null \
        2>"$copy/build/errors" || { cat "$copy/build/errors"; exit 1; }
    if "$copy/build/regress/$program" >/dev/null 2>&1; then
        echo "mutant survived $program: $what"
        survived=$((survived + 1))
    else
        echo "mutant killed by $program: $what"
        killed=$((killed + 1))
    fi
    cp "$file" "$copy/$file"
done <"$copy/rows"
echo "mutants: $killed passed, $survived failed"
[ "$survived" -eq 0 ]
