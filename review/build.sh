#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. They need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
java_home=$(bin/find-jdk)
rm -rf target/review
mkdir -p target/review
"$java_home/bin/javac" -d target/review review/standins/*.java
