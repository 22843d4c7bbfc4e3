package lupinwood.admission;

/** A request class, by its place in the settings. */
public record RequestClassId(int number) {}
