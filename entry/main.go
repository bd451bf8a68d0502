// Command entry is part of lycheepond.
package main

func main() {}
