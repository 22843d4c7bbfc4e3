package lupinwood.admission;

/** Identifies a tenant by its position in the settings. */
public record TenantId(int number) {}
