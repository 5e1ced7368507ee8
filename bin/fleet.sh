# Starts and stops a fleet of stand-ins and daemons on loopback. Sourced by bin/demo and bin/experiment, which run in
# the root directory with `set -euo pipefail`.
# fleet_start sets: dir (settings, logs, fleet.json), java, loadtool (class path), daemon_pids.

pids=()
daemon_pids=()

# Stops all processes that fleet_start has started.
fleet_stop() {
  for pid in "${pids[@]:-}"; do
    [ -n "$pid" ] && kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# Builds the programs unless they have been built already.
fleet_build() {
  JAVA_HOME=$(bin/find-jdk)
  export JAVA_HOME
  if [ ! -d loadtool/target/lib ] || [ ! -d daemon/target/lib ] || [ ! -d cli/target/lib ]; then
    echo "building"
    mvn -B -q -ntp -T 4 package -DskipTests
  fi
}

# Starts the processes of a deployment and rolls its bundle.
# Usage: fleet_start DEPLOYMENT DAEMONS [OPTION OF DemoSetup]...; ENGINE_TOKEN_MS sets the engines' time between tokens.
fleet_start() {
  local deployment=$1 daemons=$2 kind name a b operator
  shift 2
  fleet_build
  dir=$(mktemp -d)
  trap fleet_stop EXIT
  java="$JAVA_HOME/bin/java -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
  loadtool="loadtool/target/classes:loadtool/target/lib/*"
  for operator in anna ben; do
    bin/godwithoist keygen $operator --out "$dir" --json > "$dir/$operator.entry"
  done
  $java -cp "$loadtool" org.godwithoist.loadtool.demo.DemoSetup \
    --dir "$dir" --deployment "$deployment" --daemons "$daemons" "$@"

  echo "starting stand-ins and $daemons daemons of $deployment"
  while read -r kind name a b; do
    case "$kind" in
      standin)
        $java -Xmx64m -cp "standins/target/classes:standins/target/lib/*" \
          org.godwithoist.standins.StandinMain "$a" --listen "$b" --id "$name" \
          --token-ms "${ENGINE_TOKEN_MS:-5}" > "$dir/$name.log" 2>&1 &
        ;;
      daemon)
        bin/godwithoistd --settings "$a" > "$dir/$name.log" 2>&1 &
        ;;
    esac
    pids+=($!)
    [ "$kind" = daemon ] && daemon_pids+=($!)
  done < "$dir/processes"
  $java -cp "$loadtool" org.godwithoist.loadtool.demo.PublishHosts "$dir"
  fleet_roll
}

# Runs a command as an operator. Usage: as OPERATOR COMMAND...
as() { GODWITHOIST_OPERATOR=$1 GODWITHOIST_TOKEN_FILE=$dir/$1.token GODWITHOIST_KEY_FILE=$dir/$1.key \
  bin/godwithoist "${@:2}"; }

# Submits, reviews, signs and rolls the bundle.
fleet_roll() {
  local operators attempt proposal
  operators=$(sed -n 's/.*"operators" : "\([^"]*\)".*/\1/p' "$dir/fleet.json" | head -1)
  export GODWITHOIST_DAEMON=$operators
  echo "rolling the bundle: anna submits; ben reviews, signs and rolls"
  for attempt in 1 2 3 4 5 6 7 8 9 10; do
    if as anna bundle submit "$dir/bundle.json" --json > "$dir/submitted.json" 2> "$dir/submit.err"; then
      break
    fi
    [ "$attempt" -lt 10 ] || { cat "$dir/submit.err" >&2; exit 1; }
    sleep 0.5
  done
  proposal=$(sed -n 's/.*"proposal" *: *"\([^"]*\)".*/\1/p' "$dir/submitted.json" | head -1)
  as ben bundle review "$proposal"
  as ben bundle sign "$proposal" --file "$dir/bundle.json"
  as ben bundle roll "$proposal"
}
