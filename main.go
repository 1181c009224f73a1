// Command hibiscuslane manages the capacity and the maintenance of a fleet. Package cmd defines its commands.
package main

import (
	"os"

	"hibiscuslane.example/hibiscuslane/cmd"
)

func main() {
	os.Exit(cmd.Execute())
}
