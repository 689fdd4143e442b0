"""Flow export by IPFIX and NetFlow v9: the traffic of each connection by resource group and tenant."""
