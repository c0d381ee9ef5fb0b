#!/bin/sh
# Shows that the tests can fail: takes one guard at a time out of a copy of
# the tree, builds, and runs the test that must then fail.
#
# Each row of mutants.txt, parted by " | ": file | sed expression | test
# program | what it takes away.  Exits 1 when a mutant survives or an
# expression fits nowhere.  Warnings are no errors here, because a mutant may
# leave a variable or a function unused.
#
# Rows are played by several workers, because most of their time is spent
# waiting in tests.  Each has a tree and a build of its own.  WORKERS and JOBS
# (build jobs of each) are for machines that are shared.
set -eu
cd "$(dirname "$0")/.."
root=build/mutants
workers=$(($(nproc) / 2))
[ "$workers" -ge 1 ] || workers=1
workers=${WORKERS:-$workers}
jobs=${JOBS:-$(($(nproc) / workers))}

prepare() {
    mkdir -p "$copy"
    find "$copy" -mindepth 1 -maxdepth 1 ! -name build -exec rm -rf {} +
    git ls-files -z | tar --null -T - -cf - | tar -C "$copy" -xf -
    sed -i 's/ -Werror / /' "$copy/CMakeLists.txt"
    cmake -S "$copy" -B "$copy/build" -DCMAKE_BUILD_TYPE=Debug >/dev/null
    cmake --build "$copy/build" -j "$jobs" >/dev/null
}

# In the worker's build: test_journal and test_tls write files of fixed names
# to the directory that they run in.
run_test() (
    cd "$copy/build/regress" || exit 0 # counts as survived
    "./$program"
)

play_row() {
    cp "$file" "$copy/$file"
    sed -i -e "$expression" "$copy/$file"
    if cmp -s "$file" "$copy/$file"; then
        echo "mutant fits nowhere: $file: $what"
        echo failed >>"$root/results"
        return
    fi
    if ! cmake --build "$copy/build" -j "$jobs" --target "$program" \
        >/dev/null 2>"$copy/build/errors"; then
        cat "$copy/build/errors"
        : >"$root/stop"
        exit 1
    fi
    if run_test </dev/null >/dev/null 2>&1; then
        echo "mutant survived $program: $what"
        echo failed >>"$root/results"
    else
        echo "mutant killed by $program: $what"
        echo passed >>"$root/results"
    fi
    cp "$file" "$copy/$file"
}

# The worker that creates the folder of a row plays it.
play_rows() {
    copy=$root/$1
    prepare
    row=0
    while IFS="$(printf '\t')" read -r file expression program what; do
        row=$((row + 1))
        [ ! -e "$root/stop" ] || return 0
        mkdir "$root/taken/$row" 2>/dev/null || continue
        file=$(echo "$file" | tr -d ' ')
        program=$(echo "$program" | tr -d ' ')
        play_row
    done <"$root/rows"
}

mkdir -p "$root"
find "$root" -mindepth 1 -maxdepth 1 ! -name '[0-9]*' -exec rm -rf {} +
mkdir "$root/taken"
: >"$root/results"
sed -e '/^ *#/d' -e '/^ *$/d' -e 's/ | /\t/g' regress/mutants.txt \
    >"$root/rows"
pids=
worker=0
while [ "$worker" -lt "$workers" ]; do
    worker=$((worker + 1))
    play_rows "$worker" &
    pids="$pids $!"
done
trap 'kill $pids 2>/dev/null || true; exit 1' INT TERM
broken=0
for pid in $pids; do
    wait "$pid" || broken=1
done
passed=$(grep -c passed "$root/results" || true)
failed=$(grep -c failed "$root/results" || true)
if [ "$broken" -ne 0 ] ||
    [ $((passed + failed)) -ne "$(grep -c '' "$root/rows")" ]; then
    echo "mutants: a build failed, or not every row was played" >&2
    exit 1
fi
echo "mutants: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
