// Command radishctl is the command line of the operators.
package main

func main() {}
