// Command lab2 runs the scripted cases of the second review. It starts entries as separate
// processes with the command of the deploy file, on loopback addresses, and plays the platform
// around them: the store, the workers, the machine service and the clients. What was sent,
// answered and run is written to record.txt in the folder of the case.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main
