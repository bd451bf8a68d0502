// Command agent is part of lycheepond.
package main

func main() {}
