#!/bin/sh
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${TANAGERBANK_JAVA_OPTS:--XX:+UseSerialGC -Xmx256m -XX:TieredStopAtLevel=4} -jar "$0" "$@"
