#!/bin/sh
cd "$(dirname "$0")" && exec ../../lib-3/run-case "$PWD"
