# Steps of a script with their durations; to be sourced. The table of them is printed when the script
# ends, also when a step has failed.

step_table=()
step_name=
step_start=

# end_step RESULT: prints the duration of the step that runs and adds it to the table.
end_step() {
    local seconds=$((SECONDS - step_start))
    printf '== %s: %s after %d s\n' "$step_name" "$1" "$seconds"
    step_table+=("$(printf '%6d %8d  %-8s %s' "$step_start" "$seconds" "$1" "$step_name")")
    step_name=
}

# step NAME COMMAND...: runs a command or a function; ends the script when it fails.
step() {
    local status=0
    step_name=$1
    step_start=$SECONDS
    shift
    printf '== %s\n' "$step_name"
    # As an operand of || the function would go on after a command of it that fails.
    set +e
    (set -e; "$@")
    status=$?
    set -e
    [ "$status" -eq 0 ] || exit "$status"
    end_step passed
}

print_step_table() {
    [ -z "$step_name" ] || end_step failed
    printf '== times\n start  seconds  result   step\n'
    printf '%s\n' "${step_table[@]}"
    printf '%6s %8d  %-8s %s\n' "" "$SECONDS" "" total
}
trap print_step_table EXIT
