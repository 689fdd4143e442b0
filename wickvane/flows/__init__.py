"""Flow export: what went over which connection, for which resource group, by IPFIX and NetFlow v9."""
