package lupinwood.admission;

/** Identifies a request class by its position in the settings. */
public record RequestClassId(int number) {}
