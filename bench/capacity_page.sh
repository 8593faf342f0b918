exit 0
