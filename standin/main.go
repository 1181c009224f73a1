// Command standin emulates the platform, the targets and the workers of "hibiscuslane serve" for tests
// and the demo. Package fabric emulates the platform of "hibiscuslane run"; only tests use it.
package main

import (
	"os"

	"hibiscuslane.example/hibiscuslane/standin/cmd"
)

func main() {
	os.Exit(cmd.Execute())
}
