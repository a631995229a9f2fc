# Steps of a script, one after the other or side by side, with their durations; to be sourced. The
# table of them is printed when the script ends, also when a step has failed.

step_folder=$(mktemp -d)
step_table=()
# By process id: the steps that run.
declare -A step_names=()
declare -A step_starts=()

# end_step PID RESULT [END]: prints the duration of a step and adds it to the table.
end_step() {
    local name=${step_names[$1]} start=${step_starts[$1]}
    local seconds=$((${3:-$SECONDS} - start))
    printf '== %s: %s after %d s\n' "$name" "$2" "$seconds"
    step_table+=("$(printf '%6d %8d  %-8s %s' "$start" "$seconds" "$2" "$name")")
    unset "step_names[$1]" "step_starts[$1]"
}

# step NAME COMMAND...: runs a command or a function; ends the script when it fails.
step() {
    local status
    step_names[0]=$1
    step_starts[0]=$SECONDS
    printf '== %s\n' "$1"
    shift
    # As an operand of || the function would go on after a command of it that fails.
    set +e
    (set -e; "$@")
    status=$?
    set -e
    [ "$status" -eq 0 ] || exit "$status"
    end_step 0 passed
}

# start_step NAME COMMAND...: starts a step that runs beside others. Its output appears when it ends.
start_step() {
    local name=$1
    shift
    printf '== %s begins\n' "$name"
    : >"$step_folder/$name"
    # With a process group of its own the step can be ended with all of its processes.
    set -m
    (
        set +em
        (set -e; "$@")
        echo "$? $SECONDS" >"$step_folder/$name.end"
    ) </dev/null >"$step_folder/$name" 2>&1 &
    set +m
    step_names[$!]=$name
    step_starts[$!]=$SECONDS
}

# await_steps: waits for all steps that were started; ends the script when one of them fails.
await_steps() {
    local pid name status end failed=0
    # `wait -n` would leave out a step that has ended before.
    for pid in $(printf '%s\n' "${!step_names[@]}" | sort -n); do
        name=${step_names[$pid]}
        wait "$pid" || true
        printf '== %s\n' "$name"
        cat "$step_folder/$name"
        status=1 end=$SECONDS
        # A step that was killed has written nothing.
        [ ! -s "$step_folder/$name.end" ] || read -r status end <"$step_folder/$name.end"
        if [ "$status" -eq 0 ]; then
            end_step "$pid" passed "$end"
        else
            end_step "$pid" failed "$end"
            failed=$status
        fi
    done
    [ "$failed" -eq 0 ] || exit "$failed"
}

finish_steps() {
    local pid
    for pid in "${!step_names[@]}"; do
        if [ "$pid" -eq 0 ]; then
            end_step 0 failed
        else
            kill -- "-$pid" 2>/dev/null || true
            cat "$step_folder/${step_names[$pid]}"
            end_step "$pid" stopped
        fi
    done
    printf '== times\n start  seconds  result   step\n'
    printf '%s\n' "${step_table[@]}"
    printf '%6s %8d  %-8s %s\n' "" "$SECONDS" "" total
    rm -rf "$step_folder"
}
trap finish_steps EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
