// Command trial is part of lycheepond.
package main

func main() {}
