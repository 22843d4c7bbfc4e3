package lupinwood.cluster;

/**
 * A server below that is agreed to rest: no node sends it anything new.
 *
 * @param server as the operators' files name it
 * @param by who asked
 */
public record Cordon(String server, String by) {}
