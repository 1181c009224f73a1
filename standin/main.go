// Command standin emulates the platform, its targets and its workers for tests and the demo.
package main

import (
	"os"

	"hibiscuslane.example/hibiscuslane/standin/cmd"
)

func main() {
	os.Exit(cmd.Execute())
}
