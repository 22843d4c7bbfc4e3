package lupinwood.cluster;

/**
 * A downstream server to which no node sends new requests.
 *
 * @param server its name in the operator's configuration
 * @param by who ordered it
 */
public record Cordon(String server, String by) {}
