/**
 * Roarr writes nothing unless this variable is set when its module is first loaded, so this module must be imported
 * before it. Without it a daemon is silent whatever its settings say; the level is chosen by the settings alone.
 */
process.env["ROARR_LOG"] = "true";
