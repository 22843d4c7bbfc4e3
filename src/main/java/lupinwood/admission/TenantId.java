package lupinwood.admission;

/** A tenant, by its place in the settings. */
public record TenantId(int number) {}
