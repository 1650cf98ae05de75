#!/usr/bin/env bash
# Verifies that the tests detect deliberately introduced faults. For each entry of
# tests/broken-builds.txt, a copy of the sources is changed and built, and the named test must fail.
# Usage: scripts/check-broken-builds.sh [NAME ...]
set -euo pipefail
cd "$(dirname "$0")/.."

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$copy"
scripts/build.sh build > /dev/null
missed=0

# break_file FILE FROM TO: replaces the first occurrence of FROM by TO; \n denotes a newline.
break_file() {
    perl -0777 -i -e '
        my ($from, $to, $file) = @ARGV;
        s/\\n/\n/g for $from, $to;
        open my $in, "<", $file or die; my $text = <$in>; close $in;
        my $at = index($text, $from);
        die "not found in $file: $from\n" if $at < 0;
        substr($text, $at, length $from) = $to;
        open my $out, ">", $file or die; print $out $text;
    ' "$2" "$3" "$1"
}

while IFS='|' read -r name file from to test; do
    name=$(echo "$name" | xargs)
    if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
        continue
    fi
    file=$(echo "$file" | xargs)
    from=${from# }; from=${from% }; to=${to# }; to=${to% }; test=${test# }
    cp "$file" "$copy/$file"
    if ! break_file "$copy/$file" "$from" "$to"; then
        echo "NOT BROKEN $name"
        missed=$((missed + 1))
    elif ! (cd "$copy" && scripts/build.sh build) > "$copy/build.log" 2>&1; then
        tail -5 "$copy/build.log"
        echo "NOT BUILT  $name"
        missed=$((missed + 1))
    elif ctest --test-dir "$copy/build" --no-tests=error -R "^$test" > "$copy/test.log" 2>&1; then
        echo "NOT CAUGHT $name by '$test'"
        missed=$((missed + 1))
    elif grep -q 'No tests were found' "$copy/test.log"; then
        echo "NO TEST    $name: '$test'"
        missed=$((missed + 1))
    else
        echo "caught     $name by '$test'"
    fi
    cp "$file" "$copy/$file"
done < <(grep -vE '^(#|$)' tests/broken-builds.txt)
echo "$missed missed"
[ "$missed" -eq 0 ]
