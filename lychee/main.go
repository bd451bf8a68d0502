// Command lychee is part of lycheepond.
package main

func main() {}
