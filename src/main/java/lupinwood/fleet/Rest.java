package lupinwood.fleet;

/**
 * A server below that is agreed to rest: no node sends it anything new.
 *
 * @param server as the operators' files name it
 * @param by who asked
 */
public record Rest(String server, String by) {}
