"""Entry VMs in front of groups of runners: decisions and their shell."""
