namespace applehatch {}
